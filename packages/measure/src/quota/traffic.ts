import { HEADER_BYTES, LIMIT_BYTES, VIEWS, perNode } from './peer-bytes.js';

function print(title: string, version: number, tuned: boolean): void {
  console.log(`\n${title}\n`);
  console.log(
    '| members | heartbeats | demand rows | wants | sum B/s | with TCP/IP headers | limit |',
  );
  console.log('| --- | --- | --- | --- | --- | --- | --- |');
  for (const size of VIEWS) {
    const row = perNode(size, version, tuned);
    const sum = row.heartbeats + row.demand + row.wants;
    const cells = [row.heartbeats, row.demand, row.wants, sum, sum + row.frames * HEADER_BYTES];
    const verdict = sum <= LIMIT_BYTES ? 'kept' : 'broken';
    console.log(`| ${[size, ...cells.map((cell) => Math.round(cell)), verdict].join(' | ')} |`);
  }
}

print('Version 1 (named fields), fixed periods, all rows:', 1, false);
print('Version 2 (positional fields), fixed periods, all rows:', 2, false);
print('Version 2, period and number of rows by the size of the view:', 2, true);
