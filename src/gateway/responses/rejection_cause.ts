/**
 * Why a response is not taken as the answer to a request. `foreign`: it carries
 * the id of another request. `unidentified`: it carries no id. `unsealed`: the
 * backend server does not vouch for a success. `unmarked`: its status promises that
 * the request was not executed, but the backend server does not state it.
 * `oversized-head`: the bytes before the end of its head exceed their limit.
 * `oversized-framing`: the chunk framing or the trailers do. `oversized-body`: it is
 * no stream, and its body is longer than what is held for a request.
 */
export type RejectionCause =
  | 'foreign'
  | 'unidentified'
  | 'unsealed'
  | 'unmarked'
  | 'oversized-head'
  | 'oversized-framing'
  | 'oversized-body';
