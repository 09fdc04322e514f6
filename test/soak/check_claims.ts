import {falseClaims} from './false_claims';
import {SoakMachine} from './soak_machine';

/** Lists what processes believed of backend servers from answers to other requests, each in a sentence. */
export function checkClaims(machines: readonly SoakMachine[]): string[] {
  return machines.flatMap(({options, log}) =>
    falseClaims.flatMap(({what, logged}) => {
      const line = log.find(each => logged.test(each));
      return line === undefined
        ? []
        : [
            `${options.ip} believed ${what} of an answer to another request: ${line}`,
          ];
    }),
  );
}
