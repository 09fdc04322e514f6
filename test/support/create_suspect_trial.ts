import {FaultBoundary} from '../../src/common/fault_boundary';
import {SuspectTrial} from '../../src/gateway/crashes/suspect_trial';

type Options = Omit<Parameters<typeof SuspectTrial.create>[0], 'boundary'>;

/** Creates the trial of a request whose errors fail the test. */
export function createSuspectTrial(options: Options): SuspectTrial {
  const boundary = FaultBoundary.create(fault => {
    throw fault;
  });
  return SuspectTrial.create({...options, boundary});
}
