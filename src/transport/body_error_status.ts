/** Statuses for the names of errors with which a body is not read; the request was not passed on. */
export const BODY_ERROR_STATUS: Readonly<Record<string, number | undefined>> = {
  TooLarge: 413,
  NoRoom: 503,
  TooSlow: 408,
  Fault: 503,
};
