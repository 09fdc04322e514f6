/** Sent to the caller as the reason why the request is permanently rejected. */
export const CONVICTED_REASON =
  'backend servers end when they begin this request, or any with a part of its prompt: it is not sent again';
