import { expect, test } from '@jest/globals';
import { decodeText, formatPosition, parseDocumentText } from '@turmerichoist/cli';

const ZONE = 'kind: zone\nname: z1\nspec: { region: r }\n';

/** Place, rule and message of the problems of a text. */
function problemsOf(text: string): readonly string[] {
  return parseDocumentText('f.yaml', text).problems.map(({ position, rule }) => {
    return `${formatPosition(position)} ${rule}`;
  });
}

/** Nine levels of nine aliases each, which expand to more than a hundred million values. */
const ALIAS_BOMB = Array.from({ length: 9 }, (_, level) => {
  const items = level === 0 ? 'x' : `*a${level - 1}`;
  return `k${level}: &a${level} [${Array.from({ length: 9 }, () => items).join(',')}]\n`;
}).join('');

test.each([
  ['an alias bomb', ALIAS_BOMB, ['f.yaml:1:1 alias-limit']],
  ['an alias to itself in a list', 'a: &a [*a]\nb: [*a, *a', ['f.yaml:2:11 yaml-syntax']],
  ['very many anchors', '&a '.repeat(5_000), ['f.yaml:1 file-too-large']],
  ['a line of 1 MB', `${ZONE}# ${'x'.repeat(1_000_000)}\n`, ['f.yaml:4 line-too-long']],
  ['brackets nested 16,000 deep', `a:\n  ${'['.repeat(16_000)}`, ['f.yaml:2 nesting-too-deep']],
  ['list markers nested 8,000 deep', '- '.repeat(8_000), ['f.yaml:1 nesting-too-deep']],
  ['too many tokens', '- 1\n'.repeat(200_000), ['f.yaml:100001 file-too-large']],
  ['too many documents', '---\na: 1\n'.repeat(20_000), ['f.yaml:20001 file-too-large']],
  ['a repeated field', `${ZONE}name: z2\n`, ['f.yaml:4:1 duplicate-key']],
  ['a repeated field in a nested object', 'spec: { a: 1, a: 2 }\n', ['f.yaml:1:15 duplicate-key']],
  ['a list', `${ZONE}---\n- kind: zone\n`, ['f.yaml:5:1 not-an-object']],
  ['a single value', 'hello\n', ['f.yaml:1:1 not-an-object']],
  ['an object as a field name', '? { a: 1 }\n: b\n', ['f.yaml:1:3 yaml-syntax']],
  ['a quote that is not closed', 'kind: "zone\n', ['f.yaml:2:1 yaml-syntax']],
])('%s ends in an error with file and line', (_, text, expected) => {
  expect(problemsOf(text)).toEqual(expected);
});

test('brackets in quotes and in block text are not counted as nesting', () => {
  const text = `a: "${'['.repeat(100)}"\nb: |\n${'  [\n'.repeat(100)}`;
  expect(problemsOf(text)).toEqual([]);
});

test('a bad document does not hide the good ones and the problems after it', () => {
  const { documents, problems } = parseDocumentText('f.yaml', `- 1\n---\n${ZONE}---\n- 2\n`);
  expect(documents.map(({ value }) => value)).toMatchObject([{ name: 'z1' }]);
  expect(problems.map(({ position }) => position.line)).toEqual([1, 7]);
});

test('the position of an absent field is the object that lacks it', () => {
  const [document] = parseDocumentText('f.yaml', `---\n${ZONE}`).documents;
  expect(document?.positionOf(['spec', 'region'])).toMatchObject({ line: 4, column: 9 });
  expect(document?.positionOf(['spec', 'state'])).toMatchObject({ line: 4, column: 1 });
  expect(document?.positionOf(['version'])).toMatchObject({ line: 2, column: 1 });
});

test('a field that an alias stands for has the position of its value', () => {
  const text = 'a: &a\n  b: 1\nc: *a\n';
  const [document] = parseDocumentText('f.yaml', text).documents;
  expect(document?.positionOf(['c', 'b'])).toMatchObject({ line: 2, column: 3 });
});

test.each([
  ['UTF-16 with a byte order mark', Buffer.from('\ufeffkind: zone', 'utf16le'), 1],
  ['UTF-16 without a byte order mark', Buffer.from('kind: zone', 'utf16le'), 1],
  ['a zero byte', Buffer.from('a: 1\nb: \0\n'), 2],
  ['Latin-1', Buffer.from('a: 1\nb: 2\nc: \xe9\n', 'latin1'), 3],
])('text in the wrong encoding (%s) is refused with its line', (_, bytes, line) => {
  const decoded = decodeText('f.yaml', bytes);
  expect(decoded.isErr() && decoded.error).toMatchObject({
    rule: 'file-encoding',
    position: { file: 'f.yaml', line },
  });
});
