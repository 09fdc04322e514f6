import {ServerResponse} from 'node:http';
import {Problem} from './problem';

const MS_PER_SECOND = 1_000;

/**
 * Sends a problem document as the response. Its headers must not have been sent yet.
 *
 * @example
 * sendProblem(response, {status: 404, title: 'No such model', detail, outcome: 'not-run'});
 */
export function sendProblem(response: ServerResponse, problem: Problem): void {
  const {status, title, detail, outcome, retryAfterMs} = problem;
  response.statusCode = status;
  response.setHeader('content-type', 'application/problem+json');
  response.setHeader('whinreel-outcome', outcome);
  if (retryAfterMs !== undefined) {
    response.setHeader(
      'retry-after',
      String(Math.ceil(retryAfterMs / MS_PER_SECOND)),
    );
  }
  response.end(
    JSON.stringify({type: 'about:blank', title, status, detail, outcome}),
  );
}
