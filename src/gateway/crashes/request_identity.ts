/** Recognizes repetitions of a request by a fingerprint of its caller, path and body. */
import {createHash} from 'node:crypto';
import {GatewayRequest} from '../gateway_request';
import {createPartName} from './create_part_name';

/** Number of hexadecimal digits that distinguish callers, and requests of one caller. */
const CALLER_DIGITS = 8;
const REQUEST_DIGITS = 24;

interface IdentityInput {
  readonly request: Pick<
    GatewayRequest,
    'host' | 'method' | 'path' | 'model' | 'promptParts'
  >;
  /** The caller's workspace; undefined for callers that need no key. */
  readonly workspace?: string;
  readonly body: Buffer;
}

/**
 * Identifies a request by caller, path and body, independent of its request id and
 * of the gateway that receives it. It is computed on first use, since most requests
 * never need it.
 */
export class RequestIdentity {
  private cachedName: string | undefined;
  private cachedCaller: string | undefined;
  private cachedParts: readonly string[] | undefined;

  private constructor(private readonly input: IdentityInput) {}

  /**
   * Creates the identity of a request whose body has been received.
   *
   * @example
   * const identity = RequestIdentity.create({request, workspace: 'w', body});
   * identity.name; // '0b5e…', which begins with a digest of the caller
   */
  static create(input: IdentityInput): RequestIdentity {
    return new RequestIdentity(input);
  }

  /** Returns the part of a name that identifies the caller. */
  static readCaller(this: void, name: string): string {
    return name.slice(0, CALLER_DIGITS);
  }

  /** A digest of the caller alone, which needs no hash of the body. */
  get caller(): string {
    this.cachedCaller ??= computeCaller(this.input.workspace);
    return this.cachedCaller;
  }

  /** The caller's digest followed by the request's, so that no caller can cause the refusal of another's request. */
  get name(): string {
    this.cachedName ??= this.compute();
    return this.cachedName;
  }

  /** Names of the parts of its prompt that other requests may share. */
  get parts(): readonly string[] {
    const {promptParts = [], model = ''} = this.input.request;
    this.cachedParts ??= promptParts.map(id => createPartName(id, model));
    return this.cachedParts;
  }

  private compute(): string {
    const {request, body} = this.input;
    const {caller} = this;
    const {host, method, path} = request;
    const digest = createHash('sha256')
      .update(JSON.stringify([caller, host, method, path]))
      .update(body)
      .digest('hex');
    return caller + digest.slice(0, REQUEST_DIGITS);
  }
}

function computeCaller(workspace: string | undefined): string {
  const text = workspace === undefined ? 'nobody' : `workspace ${workspace}`;
  return createHash('sha256')
    .update(text)
    .digest('hex')
    .slice(0, CALLER_DIGITS);
}
