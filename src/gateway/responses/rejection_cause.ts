/**
 * Why a response is not taken as the answer to a request. `foreign`: it carries
 * the id of another request. `unidentified`: it carries no id. `unsealed`: the
 * backend server does not vouch for a success.
 */
export type RejectionCause = 'foreign' | 'unidentified' | 'unsealed';
