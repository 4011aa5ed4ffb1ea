// Renders the reference tables of the operators' pages as Markdown.

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
    const own = [
      code(path),
      typeText(field),
      defaultText(field, required.has(name)),
      field.description ?? '',
    ];
    if (field.type === 'object') {
      return [own, ...settingRows(field, `${path}.`)];
    }
    return field.type === 'array' ? [own, ...settingRows(field.items, `${path}[].`)] : [own];
  });
}

/** The settings of a zod object schema, one row for each field. */
export function settingsReference(schema) {
  const json = schema.toJSONSchema({ io: 'input' });
  return table(['setting', 'type', 'default', 'meaning'], settingRows(json, ''));
}

/** The error kinds of an error table, one row for each kind. */
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
