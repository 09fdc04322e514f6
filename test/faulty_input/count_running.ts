import {ControlClient} from '../../src/protocol/control_client';

const TIMEOUT_MS = 5_000;

/**
 * Counts the requests that the gateways report to the leader as running, as another gateway hears it.
 *
 * @param addresses those of the control processes
 * @example
 * await countRunning(['127.0.0.1:7000']);
 */
export async function countRunning(
  addresses: readonly string[],
): Promise<number> {
  const client = ControlClient.create({
    addresses,
    identity: {program: 'gateway', id: 'observer', incarnation: 'observer'},
  });
  try {
    const {runningElsewhere} = await client.ask<'gateway-ask'>(
      {
        type: 'gateway-ask',
        gatewayId: 'observer',
        rulesVersion: 0,
        tableTag: '',
        stalled: [],
        answering: [],
        running: {},
        pressed: [],
        hasServed: false,
        isUrgent: true,
      },
      TIMEOUT_MS,
    );
    return Object.values(runningElsewhere).reduce((sum, each) => sum + each, 0);
  } finally {
    client.close();
  }
}
