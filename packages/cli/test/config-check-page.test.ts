import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { expect, test } from '@jest/globals';
import { CONFIGURATION_RULES } from '@turmerichoist/core';

const PAGE = 'docs/operators/config-check.md';
const FILE_RULES = ['packages/cli/src/documents', 'packages/cli/src/config-check'];
const RULE_ID = /rule: '([a-z-]+)'/g;

/** Identifiers of the findings about files and documents, as the sources name them. */
function fileRules(): readonly string[] {
  const sources = FILE_RULES.flatMap((folder) =>
    readdirSync(folder).map((name) => readFileSync(join(folder, name), 'utf8')),
  );
  return sources.flatMap((source) => [...source.matchAll(RULE_ID)].map(([, id]) => id ?? ''));
}

test("the operators' page has an example of each finding", () => {
  const page = readFileSync(PAGE, 'utf8');
  const rules = [...CONFIGURATION_RULES.map(({ id }) => id), ...fileRules()];
  expect(rules.length).toBeGreaterThan(CONFIGURATION_RULES.length);
  const withoutExample = rules.filter(
    (id) => !new RegExp(`^### \`${id}\`$[^#]*: (error|warning) ${id}`, 'm').test(page),
  );
  expect(withoutExample).toEqual([]);
});
