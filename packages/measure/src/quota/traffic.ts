import {
  HEADER_BYTES_PER_FRAME,
  LIMIT_BYTES_PER_S,
  VIEW_SIZES,
  trafficPerMember,
} from './peer-bytes.js';

function printTable(title: string, version: number, tuned: boolean): void {
  console.log(`\n${title}\n`);
  console.log(
    '| members | heartbeats | demand rows | wants | sum B/s | with TCP/IP headers | limit |',
  );
  console.log('| --- | --- | --- | --- | --- | --- | --- |');
  for (const size of VIEW_SIZES) {
    const row = trafficPerMember(size, version, tuned);
    const sum = row.heartbeats + row.demand + row.wants;
    const cells = [
      row.heartbeats,
      row.demand,
      row.wants,
      sum,
      sum + row.frames * HEADER_BYTES_PER_FRAME,
    ];
    const verdict = sum <= LIMIT_BYTES_PER_S ? 'kept' : 'broken';
    console.log(`| ${[size, ...cells.map((cell) => Math.round(cell)), verdict].join(' | ')} |`);
  }
}

printTable('Version 1 (named fields), fixed periods, all rows:', 1, false);
printTable('Version 2 (positional fields), fixed periods, all rows:', 2, false);
printTable('Version 2, period and number of rows by the size of the view:', 2, true);
