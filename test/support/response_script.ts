/** Drawn responses of a scripted server, with what is true of them whatever a client makes of it. */
import fc from 'fast-check';

type End = 'in-order' | 'reset';

/** One response and how its server sends it. */
interface ResponseScript {
  /** All that the server would send, one character a byte. */
  readonly text: string;
  /** The server sends as many bytes of it. */
  readonly sentBytes: number;
  /** The text is sent in as many pieces. */
  readonly pieces: number;
  readonly end: End;
  /** Bytes of the request's body. */
  readonly uploadBytes: number;
  /** The server answers at the first bytes of the request, and reads no more of it. */
  readonly answersEarly: boolean;
  readonly status: number;
  /** The response is one that HTTP allows. */
  readonly isValid: boolean;
  /** Bytes of the text up to the end of its head. */
  readonly headBytes: number;
  /** Bytes of the text up to the end of the response; undefined if its connection ends it. */
  readonly wholeBytes: number | undefined;
  /** What the body is, if all of the text is sent. */
  readonly body: string;
}

/** A part of a response: its text, and whether HTTP allows it. */
interface Part {
  readonly text: string;
  readonly isValid: boolean;
}

interface Framing {
  readonly field: string;
  readonly body: string;
  readonly isValid: boolean;
  readonly endsWithConnection: boolean;
}

const MAX_BODY_BYTES = 40;
/** More than the buffers of both sockets hold, so that a server which does not read holds up the client. */
const LONG_UPLOAD_BYTES = 12 * 1024 * 1024;

const accept = (...texts: string[]): Part[] =>
  texts.map(text => ({text, isValid: true}));
const refuse = (...texts: string[]): Part[] =>
  texts.map(text => ({text, isValid: false}));

/** Draws mostly valid parts, so that a response seldom has more than one fault. */
function drawPart(valid: Part[], invalid: Part[]): fc.Arbitrary<Part> {
  return fc.oneof(
    {weight: 20, arbitrary: fc.constantFrom(...valid)},
    {weight: 1, arbitrary: fc.constantFrom(...invalid)},
  );
}

const statusLine = drawPart(
  accept(
    'HTTP/1.1 200 OK',
    'HTTP/1.1 200 ',
    'HTTP/1.1 201 Created',
    'HTTP/1.1 299 \xe9\tx',
    'HTTP/1.1 404 Not Found',
    'HTTP/1.1 503 x',
    'HTTP/1.1 599 x',
  ),
  refuse(
    'HTTP/1.1 000 OK',
    'HTTP/1.1 007 OK',
    'HTTP/1.1 099 OK',
    'HTTP/1.1 600 OK',
    'HTTP/1.1 999 OK',
    'HTTP/1.1 20 OK',
    'HTTP/1.1 2000 OK',
    'HTTP/1.1 2x0 OK',
    'HTTP/1.1  200 OK',
    'HTTP/1.1 200 O\x01K',
    'HTTP/1.1 200 O\0K',
    'HTTP/1.2 200 OK',
    'HTTP/2.0 200 OK',
    'HTTP/0.9 200 OK',
    'RTSP/1.0 200 OK',
    ' HTTP/1.1 200 OK',
    '200 OK',
  ),
);

const lineEnd = fc.oneof(
  {weight: 120, arbitrary: fc.constantFrom(...accept('\r\n'))},
  {weight: 1, arbitrary: fc.constantFrom(...refuse('\n', '\r', '\r\r\n'))},
);

const NAME_BYTES =
  "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

/** A field whose name has one byte that no name may have. */
const spoiledName = fc
  .tuple(fc.integer({min: 0, max: 255}), fc.nat(3))
  .filter(([byte]) => !NAME_BYTES.includes(String.fromCharCode(byte)))
  // A colon ends the name, and a line feed makes two lines of one; both can be valid.
  .filter(([byte]) => byte !== 0x3a && byte !== 0x0a)
  .map(([byte, at]) => {
    const name = 'seal'.slice(0, at) + String.fromCharCode(byte);
    return {text: `${name}${'seal'.slice(at)}: s`, isValid: false};
  });

/** A field whose value has one control byte. */
const spoiledValue = fc
  .constantFrom(...Array.from({length: 32}, (_, byte) => byte), 0x7f)
  .filter(byte => byte !== 0x09 && byte !== 0x0a)
  .map(byte => ({
    text: `x: a${String.fromCharCode(byte)}b`,
    isValid: false,
  }));

const field = fc.oneof(
  {
    weight: 25,
    arbitrary: fc.constantFrom(
      ...accept(
        'x-a: b',
        'X-Empty:',
        'x: \xe9 y',
        'x-t: \tv\t ',
        'x:y',
        'request-id: q',
      ),
    ),
  },
  {weight: 1, arbitrary: spoiledName},
  {weight: 1, arbitrary: spoiledValue},
  {
    weight: 1,
    arbitrary: fc.constantFrom(...refuse('novalue', ': v', 'x : y')),
  },
);

const bodyText = fc.string({maxLength: MAX_BODY_BYTES, unit: 'binary-ascii'});

const lengthFraming = bodyText.map(body => ({
  field: `content-length: ${body.length}`,
  body,
  isValid: true,
  endsWithConnection: false,
}));

const connectionFraming = bodyText.map(body => ({
  field: '',
  body,
  isValid: true,
  endsWithConnection: true,
}));

/** Encodes a body as chunks; the parts may spoil it. */
function encodeChunks(
  chunks: readonly string[],
  suffix: Part,
  end: Part,
  last: Part,
): Framing & {readonly plain: string} {
  const parts = chunks.map(
    chunk =>
      `${chunk.length.toString(16)}${suffix.text}\r\n${chunk}${end.text}`,
  );
  const isUsed = chunks.length > 0;
  return {
    field: 'transfer-encoding: chunked',
    body: parts.join('') + last.text,
    plain: chunks.join(''),
    isValid: last.isValid && (!isUsed || (suffix.isValid && end.isValid)),
    endsWithConnection: false,
  };
}

const chunkFraming = fc
  .tuple(
    fc.array(fc.string({minLength: 1, maxLength: 20, unit: 'binary-ascii'}), {
      maxLength: 3,
    }),
    drawPart(accept('', '', ';a=b'), refuse(' ', 'z', ';\x01', '\n')),
    drawPart(accept('\r\n'), refuse('', '\n', 'x\r\n', '\r')),
    drawPart(
      accept('0\r\n\r\n', '000\r\n\r\n', '0\r\nx: y\r\n\r\n'),
      refuse('0\n\n', '-0\r\n\r\n', '0\r\nx y: z\r\n\r\n', '0x0\r\n\r\n'),
    ),
  )
  .map(([chunks, suffix, end, last]) =>
    encodeChunks(chunks, suffix, end, last),
  );

const ambiguousFraming = fc
  .constantFrom(
    'content-length: 4\r\ncontent-length: 2',
    'content-length: 4\r\ncontent-length: 4',
    'content-length: 4, 4',
    'content-length: +4',
    'content-length: -4',
    'content-length: 0x4',
    'content-length: 4 4',
    'content-length:',
    'content-length: 99999999999999999999999',
    'content-length: 4\r\ntransfer-encoding: chunked',
    'transfer-encoding: chunked\r\ncontent-length: 4',
    'transfer-encoding: chunked\r\ntransfer-encoding: chunked',
    'transfer-encoding: gzip, chunked',
    'transfer-encoding: chunked, gzip',
    'transfer-encoding: xchunked',
    'transfer-encoding: identity',
    'transfer-encoding: gzip',
    'transfer-encoding:',
  )
  .map(text => ({
    field: text,
    body: text.includes('chunked') ? '4\r\nbody\r\n0\r\n\r\n' : 'body',
    isValid: false,
    endsWithConnection: false,
  }));

const framing: fc.Arbitrary<Framing & {readonly plain?: string}> = fc.oneof(
  {weight: 6, arbitrary: lengthFraming},
  {weight: 6, arbitrary: chunkFraming},
  {weight: 8, arbitrary: connectionFraming},
  {weight: 1, arbitrary: ambiguousFraming},
);

const upload = fc.oneof(
  {weight: 30, arbitrary: fc.constant(0)},
  {weight: 10, arbitrary: fc.integer({min: 1, max: 2_000})},
  {weight: 5, arbitrary: fc.integer({min: 2_000, max: 300_000})},
  {weight: 1, arbitrary: fc.constant(LONG_UPLOAD_BYTES)},
);

const interim = fc.oneof(
  {weight: 20, arbitrary: fc.constant({text: '', isValid: true})},
  {
    weight: 1,
    arbitrary: fc.constantFrom(
      ...accept('HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'),
      ...refuse(
        'HTTP/1.1 103 Early Hints\r\nli nk: x\r\n\r\n',
        'HTTP/1.1 099 x\r\n\r\n',
        'HTTP/1.1 101 Switching Protocols\r\n\r\n',
      ),
    ),
  },
);

/** After which byte the server stops, modulo the number of bytes; mostly after all of them. */
const cut = fc.oneof(
  {weight: 3, arbitrary: fc.constant(undefined)},
  {weight: 2, arbitrary: fc.nat(10_000)},
);

/** Draws responses: heads, framings, cuts, ends and moments of the upload. */
export const responseScript: fc.Arbitrary<ResponseScript> = fc
  .record({
    interim,
    statusLine,
    isOldVersion: fc.boolean(),
    fields: fc.array(field, {maxLength: 3}),
    framing,
    framingAt: fc.nat(3),
    lineEnds: fc.array(lineEnd, {minLength: 8, maxLength: 8}),
    surplus: fc.constantFrom('', '', 'HTTP/1.1 200 OK\r\n\r\n'),
    cut,
    pieces: fc.integer({min: 1, max: 4}),
    end: fc.constantFrom<End>('in-order', 'reset'),
    uploadBytes: upload,
    answersEarly: fc.boolean(),
  })
  .map(drawn => {
    const {endsWithConnection} = drawn.framing;
    const isOld = drawn.isOldVersion && endsWithConnection;
    const first = isOld
      ? drawn.statusLine.text.replace('HTTP/1.1', 'HTTP/1.0')
      : drawn.statusLine.text;
    const fields = drawn.fields.map(({text}) => text);
    if (drawn.framing.field !== '') {
      fields.splice(drawn.framingAt, 0, drawn.framing.field);
    }
    const lines = [first, ...fields, ''];
    const ends = drawn.lineEnds.slice(0, lines.length);
    const head =
      drawn.interim.text +
      lines.map((line, at) => line + ends[at].text).join('');
    const whole = head + drawn.framing.body;
    const text = whole + (endsWithConnection ? '' : drawn.surplus);
    const parts = [drawn.interim, drawn.statusLine, ...drawn.fields, ...ends];
    return {
      text,
      sentBytes:
        drawn.cut === undefined ? text.length : drawn.cut % text.length,
      pieces: drawn.pieces,
      end: drawn.end,
      uploadBytes: drawn.uploadBytes,
      answersEarly: drawn.answersEarly,
      status: Number(first.split(' ')[1]),
      isValid: drawn.framing.isValid && parts.every(part => part.isValid),
      headBytes: head.length,
      wholeBytes: endsWithConnection ? undefined : whole.length,
      body: drawn.framing.plain ?? drawn.framing.body,
    };
  });
