// Renders the reference tables of the operator documentation as Markdown.

function escapeCell(text) {
  return text.replaceAll('|', '\\|').replaceAll('\n', ' ');
}

function row(cells) {
  return `| ${cells.map(escapeCell).join(' | ')} |`;
}

function table(head, rows) {
  return [row(head), row(head.map(() => '---')), ...rows.map(row)].join('\n');
}

function code(value) {
  return `\`${typeof value === 'string' ? value : JSON.stringify(value)}\``;
}

function typeText(schema) {
  if (schema.enum !== undefined) {
    return schema.enum.map(code).join(' or ');
  }
  const range =
    schema.minimum === undefined || schema.maximum === undefined
      ? ''
      : ` ${schema.minimum} to ${schema.maximum}`;
  return `${schema.type}${range}`;
}

function defaultText(schema, required) {
  if (schema.default !== undefined && schema.type !== 'object') {
    return code(schema.default);
  }
  return required ? 'required' : 'none';
}

function settingRows(schema, prefix) {
  const required = new Set(schema.required ?? []);
  return Object.entries(schema.properties).flatMap(([name, field]) => {
    const path = `${prefix}${name}`;
    const fieldRow = [
      code(path),
      typeText(field),
      defaultText(field, required.has(name)),
      field.description ?? '',
    ];
    if (field.type === 'object') {
      return [fieldRow, ...settingRows(field, `${path}.`)];
    }
    return field.type === 'array'
      ? [fieldRow, ...settingRows(field.items, `${path}[].`)]
      : [fieldRow];
  });
}

/** Renders a table of the settings of a zod object schema, one row per field. */
export function settingsReference(schema) {
  const json = schema.toJSONSchema({ io: 'input' });
  return table(['setting', 'type', 'default', 'meaning'], settingRows(json, ''));
}

/** Renders a table of the error kinds, one row per kind. */
export function errorsReference(errors) {
  const rows = Object.entries(errors).map(([kind, { status, outcome, text, nextStep }]) => [
    code(kind),
    String(status),
    code(outcome),
    text,
    nextStep,
  ]);
  return table(['kind', 'status', 'outcome', 'text', 'next step'], rows);
}
