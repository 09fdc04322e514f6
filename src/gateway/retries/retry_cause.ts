/**
 * Why a request needs another attempt. `not-run`: it was refused without being executed.
 * `broken`: the response is incomplete. `failed`: the response reports a failure.
 */
export type RetryCause = 'not-run' | 'broken' | 'failed';
