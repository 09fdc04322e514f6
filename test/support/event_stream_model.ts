/** What a reader of the event stream format finds in the bytes of a stream, written independently of the splitter. */
interface ModelEvent {
  readonly id: string | undefined;
  readonly hasData: boolean;
}

const LINE = /([^\r\n]*)(?:\r\n|\r|\n)/y;
const BYTE_ORDER_MARK = '\u00ef\u00bb\u00bf';

/**
 * Reads a stream, one character for each byte.
 *
 * @returns its complete events, and the number of bytes up to the end of its last empty line
 * @example
 * const {events, wholeBytes} = readEventStream('id: 1\r\n\r\nid: 2');
 */
export function readEventStream(stream: string): {
  events: ModelEvent[];
  wholeBytes: number;
} {
  const events: ModelEvent[] = [];
  let wholeBytes = 0;
  let lines: string[] = [];
  LINE.lastIndex = stream.startsWith(BYTE_ORDER_MARK) ? 3 : 0;
  for (let at = LINE.exec(stream); at; at = LINE.exec(stream)) {
    const [, line] = at;
    if (line !== '') {
      lines.push(line);
      continue;
    }
    wholeBytes = LINE.lastIndex;
    if (lines.length > 0) {
      events.push(readEvent(lines));
    }
    lines = [];
  }
  return {events, wholeBytes};
}

function readEvent(lines: readonly string[]): ModelEvent {
  const fields = lines.map(line => {
    const [name, ...rest] = line.split(':');
    return {name, value: rest.join(':').replace(/^ /, '')};
  });
  return {
    id: fields
      .filter(({name, value}) => name === 'id' && !value.includes('\0'))
      .at(-1)?.value,
    hasData: fields.some(({name}) => name === 'data'),
  };
}
