/** Receives the bodies of callers' requests under one limit of memory. */
import {IncomingMessage, ServerResponse} from 'node:http';
import {BodyBudget} from '../transport/body_budget';
import {BODY_ERROR_STATUS} from '../transport/body_error_status';
import {readHttpBody} from '../transport/read_http_body';
import {GatewayRequest} from './gateway_request';
import {RequestLog} from './request_log';
import {ResponseWriter} from './responses/response_writer';

/** Long enough for bodies that are being received to be whole, or to be given up for others. */
const RETRY_AFTER_NO_ROOM_MS = 500;
/** Limit for bodies until the first rules arrive. */
const DEFAULT_MAX_BYTES = 1024 * 1024;
const INVALID_STATUS = 400;
/** The gateway, not the caller, is why the body was not read. */
const UNAVAILABLE_STATUS = 503;

/** One request whose head was read. */
interface ReceivedHead {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly writer: ResponseWriter;
  readonly request: GatewayRequest;
  /** Undefined until the rules tell. */
  readonly maxBytes: number | undefined;
}

/** Refuses requests whose body does not arrive or has no room; none of them was passed on. */
export class RequestBodies {
  private constructor(
    private readonly budget: BodyBudget,
    private readonly log: RequestLog,
  ) {}

  /**
   * Creates the bodies of a gateway.
   *
   * @param bufferBytes memory for all buffers of the process; parts of the kernel's limit without
   * @example
   * const bodies = RequestBodies.create(settings.bufferBytes, log);
   */
  static create(
    bufferBytes: number | undefined,
    log: RequestLog,
  ): RequestBodies {
    const maxBytes = BodyBudget.computeBytes(bufferBytes);
    return new RequestBodies(BodyBudget.create(maxBytes), log);
  }

  /** Resolves to the body, or to undefined after the request was refused. */
  async receive(head: ReceivedHead): Promise<Buffer | undefined> {
    const {message, response, maxBytes = DEFAULT_MAX_BYTES} = head;
    const {budget} = this;
    try {
      return await readHttpBody(message, response, {maxBytes, budget});
    } catch (error) {
      this.sendRefusal(head, error as Error);
      return undefined;
    }
  }

  /** Refuses a request whose head is invalid, once its body has ended or is longer than none. */
  async rejectInvalid(
    message: IncomingMessage,
    response: ServerResponse,
    writer: ResponseWriter,
    reason: string,
  ): Promise<void> {
    const {budget} = this;
    await readHttpBody(message, response, {maxBytes: 0, budget}).catch(
      () => undefined,
    );
    writer.sendError({status: INVALID_STATUS, reason}, undefined);
  }

  private sendRefusal(
    {request, writer}: ReceivedHead,
    {name, message: reason}: Error,
  ): void {
    const status = BODY_ERROR_STATUS[name] ?? INVALID_STATUS;
    const retryAfterMs =
      status === UNAVAILABLE_STATUS ? RETRY_AFTER_NO_ROOM_MS : undefined;
    const refusal = {status, reason, retryAfterMs};
    writer.sendError(refusal, request.id);
    this.log.recordRefusal(request, refusal);
  }
}
