/**
 * Why a response is not taken as the answer to a request. `foreign`: it carries
 * the id of another request. `unidentified`: it carries no id. `unsealed`: the
 * backend server does not vouch for a success. `unmarked`: its status promises that
 * the request was not executed, but the backend server does not state it.
 * `contradictory`: it states that although its status says the opposite.
 * `invalid-header`: it has a header that cannot be passed on.
 * `disordered`: an event of its stream is not the one after the last.
 * `oversized-head`: the bytes before the end of its head exceed their limit.
 * `oversized-framing`: the chunk framing or the trailers do. `oversized-body`: it is
 * no stream, and its body is longer than what is held for a request.
 * `oversized-event`: one event of a stream is. `buffers-full`: it held the most when
 * the requests of the gateway together held all that they may.
 */
export type RejectionCause =
  | 'foreign'
  | 'unidentified'
  | 'unsealed'
  | 'unmarked'
  | 'contradictory'
  | 'invalid-header'
  | 'disordered'
  | 'oversized-head'
  | 'oversized-framing'
  | 'oversized-body'
  | 'oversized-event'
  | 'buffers-full';
