import { View, parse } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { SummaryRow } from './rows.js';

/** Renders one small bar chart per row, as SVG. */
export async function renderSvg(title: string, rows: readonly SummaryRow[]): Promise<string> {
  const values = rows.flatMap(({ measure, unit, value, reference, referenceValue }) => {
    const name = `${measure} / ${reference}${unit === '' ? '' : `, ${unit}`}`;
    return [
      { name, scheme: 'measured', value },
      { name, scheme: 'reference', value: referenceValue },
    ];
  });
  const spec: TopLevelSpec = {
    title,
    columns: 2,
    data: { values },
    facet: { field: 'name', type: 'nominal', title: null, sort: null },
    spec: {
      width: 320,
      height: 40,
      mark: 'bar',
      encoding: {
        y: { field: 'scheme', type: 'nominal', title: null },
        x: { field: 'value', type: 'quantitative', title: null },
      },
    },
    resolve: { scale: { x: 'independent' } },
  };
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}
