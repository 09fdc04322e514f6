/**
 * Why a response is not taken as the answer to a request. `foreign`: it carries
 * the id of another request. `unidentified`: it carries no id. `unsealed`: the
 * backend server does not vouch for a success. `unmarked`: its status promises that
 * the request was not executed, but the backend server does not state it.
 */
export type RejectionCause =
  'foreign' | 'unidentified' | 'unsealed' | 'unmarked';
