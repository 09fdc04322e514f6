import {BackendView} from './backend_view';

/**
 * Lists the fabric domains of backend servers by incarnation.
 *
 * @example
 * const domains = listHostDomains(input.backends);
 */
export function listHostDomains(
  backends: readonly BackendView[],
): Map<string, string | undefined> {
  return new Map(
    backends.map(({registration}) => [
      registration.incarnation,
      registration.domain,
    ]),
  );
}
