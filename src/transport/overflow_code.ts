/** The error code of a response with a head or framing that is too long, as undici has it for heads. */
export const OVERFLOW_CODE = 'UND_ERR_HEADERS_OVERFLOW';
