/**
 * Parses JSON with comments, validates it and reports all errors with their
 * lines.
 */
import {
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {pathText, problemsOf, problemText, type Problem} from './problem.js';

/** One error in a document, with its position. */
export interface DocumentProblem extends Problem {
  /** Line, from 1. */
  readonly line: number;
  /** Column, from 1. */
  readonly column: number;
}

/**
 * Parses and validates a document. Comments and trailing commas are allowed.
 * Returns all errors at once, ordered by line; after syntax errors the schema
 * is not checked.
 */
export function parseJsonc<T>(
  text: string,
  schema: z.ZodType<T>,
): Result<T, readonly DocumentProblem[]> {
  const syntaxErrors: ParseError[] = [];
  const root = parseTree(text, syntaxErrors, {allowTrailingComma: true});
  if (root === undefined || syntaxErrors.length > 0) {
    return err(syntaxProblems(text, syntaxErrors));
  }
  const value: unknown = getNodeValue(root);
  const parsed = schema.safeParse(value);
  const problems = [
    ...duplicateFields(text, root),
    ...(parsed.success ? [] : schemaProblems(text, root, parsed.error, value)),
  ];
  if (parsed.success && problems.length === 0) return ok(parsed.data);
  return err(problems.toSorted((a, b) => a.line - b.line));
}

/** Formats a problem as one line that starts with file, line and column. */
export function documentProblemText(
  file: string,
  problem: DocumentProblem,
): string {
  return `${file}:${problem.line}:${problem.column}: ${problemText(problem)}`;
}

function syntaxProblems(
  text: string,
  errors: readonly ParseError[],
): readonly DocumentProblem[] {
  if (errors.length === 0) return [emptyDocument()];
  return errors.map(error => ({
    path: '',
    expected: 'JSON with comments',
    found: `${excerptAt(text, error)} (${reasonOf(error)})`,
    remedy: 'correct the syntax at this place',
    ...positionOf(text, error.offset),
  }));
}

function excerptAt(text: string, {offset, length}: ParseError): string {
  const excerpt = text.slice(offset, offset + Math.max(length, 1)).trim();
  return excerpt === '' ? 'the end of the line' : JSON.stringify(excerpt);
}

/** Returns `close brace expected` for `CloseBraceExpected`. */
function reasonOf({error}: ParseError): string {
  const name = printParseErrorCode(error);
  return name.replace(/[A-Z]/g, letter => ` ${letter.toLowerCase()}`).trim();
}

function emptyDocument(): DocumentProblem {
  return {
    path: '',
    expected: 'JSON with comments',
    found: 'nothing',
    remedy: 'write an object, such as {}',
    line: 1,
    column: 1,
  };
}

function schemaProblems(
  text: string,
  root: Node,
  error: z.ZodError,
  value: unknown,
): readonly DocumentProblem[] {
  return problemsOf(error, value).map(({segments, problem}) => ({
    ...problem,
    ...positionOf(text, closestNode(root, segments).offset),
  }));
}

/** Returns the node at a path, or its closest existing ancestor. */
function closestNode(root: Node, segments: readonly (string | number)[]): Node {
  const node = findNodeAtLocation(root, [...segments]);
  if (node !== undefined) return node;
  return segments.length === 0
    ? root
    : closestNode(root, segments.slice(0, -1));
}

/**
 * Reports repeated field names, of which the parser would keep only the last.
 */
function duplicateFields(text: string, node: Node): readonly DocumentProblem[] {
  const children = node.children ?? [];
  const below = children.flatMap(child => duplicateFields(text, child));
  if (node.type !== 'object') return below;
  const names = children.map(child => String(child.children?.[0]?.value));
  const duplicates = children.filter(
    (_, index) => names.indexOf(names[index]!) < index,
  );
  return [...duplicates.map(child => duplicateField(text, child)), ...below];
}

function duplicateField(text: string, property: Node): DocumentProblem {
  const name = String(property.children?.[0]?.value);
  return {
    path: name,
    expected: 'each field once',
    found: `${JSON.stringify(name)} again`,
    remedy: `remove one of the fields named ${pathText([name])}`,
    ...positionOf(text, property.offset),
  };
}

function positionOf(
  text: string,
  offset: number,
): {line: number; column: number} {
  const before = text.slice(0, offset).split('\n');
  return {line: before.length, column: before.at(-1)!.length + 1};
}
