import {BackendView} from './backend_view';

/**
 * Counts the backend servers that said in their newest registration that they are cold.
 *
 * @example
 * const warmFirst = countCold([left]) - countCold([right]);
 */
export function countCold(views: readonly BackendView[]): number {
  return views.filter(({registration}) => (registration.coldForMs ?? 0) > 0)
    .length;
}
