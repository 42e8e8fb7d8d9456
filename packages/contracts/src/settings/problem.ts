/** Turns schema errors into messages that tell the user what to correct. */
import type {core, ZodError} from 'zod';

/** Maximum length of an invalid value in a message, characters. */
const MAX_EXCERPT_LENGTH = 80;

/** One error in a value. */
export interface Problem {
  /** Path of the field, such as `services[0].contracts[1].path`. */
  readonly path: string;
  /** What the schema requires. */
  readonly expected: string;
  /** The actual value as JSON; `nothing` if the field is missing. */
  readonly found: string;
  /** How to correct it. */
  readonly remedy: string;
}

/** A problem with the segments of its path. */
export interface LocatedProblem {
  readonly segments: readonly (string | number)[];
  readonly problem: Problem;
}

/** Parameters that a refinement of this project attaches to a zod issue. */
export interface RefinementParams {
  readonly remedy: string;
}

/**
 * Formats a problem as one line: field, expected value, actual value, remedy.
 */
export function problemText(problem: Problem): string {
  const place = problem.path === '' ? 'the document' : problem.path;
  return `${place}: expected ${problem.expected}, found ${problem.found}; ${problem.remedy}`;
}

/**
 * Returns all problems that a schema found in `value`; empty without an error.
 */
export function problemsOf(
  err: ZodError | undefined,
  value: unknown,
): readonly LocatedProblem[] {
  const issues = err?.issues ?? [];
  return issues.flatMap(issue => problemsOfIssue(issue, value));
}

/** Formats a path as in code, such as `services[0].name`. */
export function pathText(segments: readonly (string | number)[]): string {
  return segments.reduce<string>((text, segment) => {
    if (typeof segment === 'number') return `${text}[${segment}]`;
    return text === '' ? segment : `${text}.${segment}`;
  }, '');
}

function problemsOfIssue(
  issue: core.$ZodIssue,
  value: unknown,
): readonly LocatedProblem[] {
  const segments = issue.path.map(part =>
    typeof part === 'number' ? part : String(part),
  );
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key =>
      locatedProblem([...segments, key], issue, value),
    );
  }
  return [locatedProblem(segments, issue, value)];
}

function locatedProblem(
  segments: readonly (string | number)[],
  issue: core.$ZodIssue,
  value: unknown,
): LocatedProblem {
  const found = excerptOf(valueAt(value, segments));
  const path = pathText(segments);
  const expected = expectationOf(issue);
  const remedy = remedyOf(issue, path, expected, found === 'nothing');
  return {segments, problem: {path, expected, found, remedy}};
}

function valueAt(
  value: unknown,
  segments: readonly (string | number)[],
): unknown {
  return segments.reduce<unknown>(
    (at, segment) =>
      typeof at === 'object' && at !== null
        ? (at as Record<string | number, unknown>)[segment]
        : undefined,
    value,
  );
}

function excerptOf(value: unknown): string {
  const text = JSON.stringify(value);
  if (text === undefined) return 'nothing';
  if (text.length <= MAX_EXCERPT_LENGTH) return text;
  return `${text.slice(0, MAX_EXCERPT_LENGTH)}...`;
}

function expectationOf(issue: core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return `${article(issue.expected)} ${issue.expected}`;
    case 'too_big':
      return `at most ${issue.maximum}${unitOf(issue.origin)}`;
    case 'too_small':
      return `at least ${issue.minimum}${unitOf(issue.origin)}`;
    case 'not_multiple_of':
      return `a multiple of ${issue.divisor}`;
    case 'invalid_value':
      return `one of ${issue.values.map(v => JSON.stringify(v)).join(', ')}`;
    case 'invalid_union':
      return unionExpectation(issue);
    case 'unrecognized_keys':
      return 'no such field';
    case 'invalid_format':
    case 'invalid_key':
    case 'invalid_element':
    case 'custom':
      return issue.message;
  }
}

function unionExpectation(issue: core.$ZodIssueInvalidUnion): string {
  const options = issue.errors.flat().map(expectationOf);
  const stripped = options.map(option => option.replace(/^one of /, ''));
  if (stripped.length === 0) return issue.message;
  return `one of ${[...new Set(stripped)].join(', ')}`;
}

function unitOf(origin: string): string {
  switch (origin) {
    case 'array':
    case 'set':
      return ' entries';
    case 'string':
      return ' characters';
    default:
      return '';
  }
}

function article(noun: string): string {
  return /^[aeio]/.test(noun) ? 'an' : 'a';
}

function remedyOf(
  issue: core.$ZodIssue,
  path: string,
  expected: string,
  missing: boolean,
): string {
  if (issue.code === 'custom' && typeof issue.params?.remedy === 'string') {
    return issue.params.remedy;
  }
  if (issue.code === 'unrecognized_keys') {
    return `remove ${path} or correct its spelling`;
  }
  return missing ? `add ${path}` : `set ${path} to ${expected}`;
}
