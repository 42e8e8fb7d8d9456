/**
 * Syntax of header fields (RFC 9110, section 5). Parsers differ in what they let
 * pass: llhttp 8, in earlier releases of Node.js 20, accepts a space before the
 * colon. A field that the next hop reads differently allows request smuggling.
 */

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Returns whether a field has a valid name and a valid value. */
export function isValidField(name: string, value: string): boolean {
  return TOKEN.test(name) && VALUE.test(value);
}

/** Returns whether alternating names and values are all valid. */
export function areValidFields(raw: readonly string[]): boolean {
  return raw.every((name, i) => i % 2 === 1 || isValidField(name, raw[i + 1]!));
}
