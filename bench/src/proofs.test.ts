/** The tests that docs/PROOFS.md names exist, by file and title. */
import test from 'ava';
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const SOURCE_FOLDERS = ['packages', 'platform', 'bench'];
const TEST_FILE = /`([\w./]+\.test\.ts)`/g;
/** A test file with the titles that follow it: "one", "another". */
const TITLES_OF_FILE = /`([\w./]+\.test\.ts)`: ((?:"[^"]+"(?:, )?)+)/g;

interface TestFile {
  readonly path: string;
  readonly text: string;
}

function testFiles(): readonly TestFile[] {
  return SOURCE_FOLDERS.flatMap(folder =>
    readdirSync(join(ROOT, folder), {recursive: true})
      .map(path => join(folder, String(path)))
      .filter(path => path.endsWith('.test.ts'))
      .filter(path => !path.includes('node_modules')),
  ).map(path => ({path, text: readFileSync(join(ROOT, path), 'utf8')}));
}

/** Numbers in titles may be filled in by the test: `${ms} ms`. */
function withoutNumbers(text: string): string {
  return text.replaceAll(/\$\{[^}]*\}|\d+/g, '#');
}

const proofs = readFileSync(join(ROOT, 'docs/PROOFS.md'), 'utf8');
const files = testFiles();

function filesNamed(name: string): readonly TestFile[] {
  return files.filter(({path}) => path === name || path.endsWith(`/${name}`));
}

test('every test file that the proofs name exists', t => {
  const named = [...proofs.matchAll(TEST_FILE)].map(([, name]) => name!);
  t.true(named.length > 0);
  t.deepEqual(
    named.filter(name => filesNamed(name).length === 0),
    [],
  );
});

test('every test title that the proofs quote exists in its file', t => {
  const quoted = [...proofs.matchAll(TITLES_OF_FILE)].flatMap(
    ([, file, titles]) =>
      [...titles!.matchAll(/"([^"]+)"/g)].map(([, title]) => ({
        file: file!,
        title: title!,
      })),
  );
  t.true(quoted.length > 0);
  t.deepEqual(
    quoted.filter(
      ({file, title}) =>
        !filesNamed(file).some(({text}) =>
          patternOf(title).test(withoutNumbers(text)),
        ),
    ),
    [],
  );
});

/** Returns a pattern for a quoted title, in which "..." stands for any text. */
function patternOf(title: string): RegExp {
  const parts = withoutNumbers(title)
    .split(/ ?\.\.\. ?/)
    .map(part => part.replaceAll(/[.*+?^${}()|[\]\\]/g, '\\$&'));
  return new RegExp(parts.join('.*'));
}
