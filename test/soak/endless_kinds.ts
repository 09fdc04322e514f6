import {soakStream} from './soak_stream';

const UNIT_BYTES = 16_384;
const PAD = 'p'.repeat(UNIT_BYTES);

/** The request that gets bytes without end in place of its answer. */
interface EndlessRequest {
  readonly id: string;
  /** Number of the last event that its caller has. */
  readonly after: number;
}

/** One way to send bytes without end. */
interface EndlessKind {
  /** Which requests may get it; a body has the form that its route expects. */
  readonly routes: 'all' | 'plain' | 'stream';
  /** False where the head truthfully states that the request was not executed. */
  readonly runs: boolean;
  readonly formatStart: (request: EndlessRequest) => string;
  /** Repeated until the connection is closed. */
  readonly unit: string;
}

/** By their names in reports: everything that a gateway reads of a connection, without end. */
export const endlessKinds: Readonly<Record<string, EndlessKind>> = {
  garbage: {routes: 'all', runs: true, formatStart: () => '', unit: PAD},
  'status line': {
    routes: 'all',
    runs: true,
    formatStart: () => 'HTTP/1.1 200 ',
    unit: PAD,
  },
  head: {
    routes: 'all',
    runs: true,
    formatStart: () => 'HTTP/1.1 200 OK\r\n',
    unit: 'x-pad: p\r\n'.repeat(UNIT_BYTES / 8),
  },
  'header value': {
    routes: 'all',
    runs: true,
    formatStart: () => 'HTTP/1.1 200 OK\r\nx-pad: ',
    unit: PAD,
  },
  'interim responses': {
    routes: 'all',
    runs: true,
    formatStart: () => '',
    unit: 'HTTP/1.1 103 Early Hints\r\nlink: </p>\r\n\r\n'.repeat(
      UNIT_BYTES / 32,
    ),
  },
  'body of a refusal': {
    routes: 'all',
    runs: false,
    formatStart: ({id}) =>
      formatChunkedHead(id, '503 Full\r\nx-whinreel-not-executed: 1'),
    unit: formatChunk(PAD),
  },
  'body of a 421': {
    routes: 'all',
    runs: false,
    formatStart: ({id}) => formatChunkedHead(id, '421 Misdirected'),
    unit: formatChunk(PAD),
  },
  body: {
    routes: 'plain',
    runs: true,
    formatStart: ({id}) => formatChunkedHead(id, '200 OK'),
    unit: formatChunk(PAD),
  },
  'body of a failure': {
    routes: 'plain',
    runs: true,
    formatStart: ({id}) => formatChunkedHead(id, '500 Failed'),
    unit: formatChunk(PAD),
  },
  'body with a length': {
    routes: 'plain',
    runs: true,
    formatStart: ({id}) =>
      formatHead(id, '200 OK', 'content-length: 1099511627776\r\n'),
    unit: PAD,
  },
  'chunk extension': {
    routes: 'plain',
    runs: true,
    formatStart: ({id}) => `${formatChunkedHead(id, '200 OK')}5;p=`,
    unit: PAD,
  },
  trailer: {
    routes: 'plain',
    runs: true,
    formatStart: ({id}) => `${formatChunkedHead(id, '200 OK')}0\r\nx-pad: `,
    unit: PAD,
  },
  'event of one line': {
    routes: 'stream',
    runs: true,
    formatStart: request =>
      `${formatStreamStart(request)}${formatChunk('data: ')}`,
    unit: formatChunk(PAD),
  },
  'event of many lines': {
    routes: 'stream',
    runs: true,
    formatStart: formatStreamStart,
    unit: formatChunk('data: p\n'.repeat(UNIT_BYTES / 8)),
  },
};

function formatHead(id: string, status: string, framing: string): string {
  return `HTTP/1.1 ${status}\r\nx-whinreel-request-id: ${id}\r\nx-whinreel-response-seal: s\r\n${framing}\r\n`;
}

function formatChunkedHead(id: string, status: string): string {
  return formatHead(id, status, 'transfer-encoding: chunked\r\n');
}

/** A stream's head and its next event, which is whole, if there is one. */
function formatStreamStart({id, after}: EndlessRequest): string {
  const type = 'content-type: text/event-stream\r\n';
  const head = formatHead(
    id,
    '200 OK',
    `${type}transfer-encoding: chunked\r\n`,
  );
  const event = soakStream.formatEvent(id, after + 1);
  // An empty chunk would end the body.
  return event === '' ? head : `${head}${formatChunk(event)}`;
}

function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}
