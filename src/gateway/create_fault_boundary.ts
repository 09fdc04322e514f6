import {FaultBoundary} from '../common/fault_boundary';
import {FaultLog} from './fault_log';
import {endFaultyResponse} from './responses/end_faulty_response';
import {ResponseWriter} from './responses/response_writer';

/**
 * Creates the boundary of a request until it may be sent to a backend server; from then
 * on it has its own.
 *
 * @example
 * createFaultBoundary(writer, faultLog).watch(this.receive(message, writer));
 */
export function createFaultBoundary(
  response: ResponseWriter,
  faultLog: FaultLog,
): FaultBoundary {
  return FaultBoundary.create(fault => {
    const {requestId} = response;
    const reason = `an internal error: ${fault.message}`;
    const outcome = {requestId, reason, mayHaveRun: false};
    const status = endFaultyResponse({response, ...outcome});
    faultLog.record(requestId ?? '', fault, status);
  });
}
