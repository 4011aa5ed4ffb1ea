const MAX_TEXT_CHARS = 300;

/** Escapes control characters, which a file could use to change the terminal, and bounds the length. */
export function cleanText(text: string): string {
  const bounded = text.length > MAX_TEXT_CHARS ? `${text.slice(0, MAX_TEXT_CHARS)}…` : text;
  return bounded.replace(/\p{Cc}/gu, (char) => {
    return `\\x${(char.codePointAt(0) ?? 0).toString(16).padStart(2, '0')}`;
  });
}
