/** Code of an error that a request raised before its connection was used: it has no form in HTTP, whatever its server does. */
export const UNSENDABLE_CODE = 'UNSENDABLE';
