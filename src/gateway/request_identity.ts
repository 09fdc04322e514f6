/** What makes a request the same one when its caller sends it again. */
import {createHash} from 'node:crypto';
import {GatewayRequest} from './gateway_request';

/** Hexadecimal digits that tell callers apart, and requests of one caller. */
const CALLER_DIGITS = 8;
const REQUEST_DIGITS = 24;

/** What an identity is made from. */
interface IdentityInput {
  readonly request: Pick<GatewayRequest, 'host' | 'method' | 'path'>;
  /** Whose request it is; undefined for callers who need no key. */
  readonly workspace?: string;
  readonly body: Buffer;
}

/**
 * Names a request by caller, path and body, under whatever id and at whichever
 * gateway it comes. It is worked out when it is first wanted, since most
 * requests never need it.
 */
export class RequestIdentity {
  private text: string | undefined;
  private callerText: string | undefined;

  private constructor(private readonly input: IdentityInput) {}

  /**
   * Creates the identity of a request whose body is there.
   *
   * @example
   * const identity = RequestIdentity.create({request, workspace: 'w', body});
   * identity.name; // '0b5e…', which begins with a digest of the caller
   */
  static create(input: IdentityInput): RequestIdentity {
    return new RequestIdentity(input);
  }

  /** The part of a name that tells its caller. */
  static readCaller(this: void, name: string): string {
    return name.slice(0, CALLER_DIGITS);
  }

  /** A digest of the caller alone, which costs nothing of the body. */
  get caller(): string {
    this.callerText ??= computeCaller(this.input.workspace);
    return this.callerText;
  }

  /** The digest of the caller, then that of the request: nobody can have another caller's request refused. */
  get name(): string {
    this.text ??= this.compute();
    return this.text;
  }

  private compute(): string {
    const {request, body} = this.input;
    const {caller} = this;
    const {host, method, path} = request;
    const whole = createHash('sha256')
      .update(JSON.stringify([caller, host, method, path]))
      .update(body)
      .digest('hex');
    return caller + whole.slice(0, REQUEST_DIGITS);
  }
}

function computeCaller(workspace: string | undefined): string {
  const text = workspace === undefined ? 'nobody' : `workspace ${workspace}`;
  return createHash('sha256')
    .update(text)
    .digest('hex')
    .slice(0, CALLER_DIGITS);
}
