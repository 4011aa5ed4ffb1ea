/** Serialises a value as JSON with sorted member names, so that equal values give equal text. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_, member: unknown) => {
    if (member === null || typeof member !== 'object' || Array.isArray(member)) {
      return member;
    }
    const entries = Object.entries(member).sort(([a], [b]) => (a < b ? -1 : 1));
    return Object.fromEntries(entries);
  });
}
