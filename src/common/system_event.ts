/**
 * A structured event: a state change or a decision that an operator may look up
 * later. Code outside the reporters records events and never prints.
 */
export interface SystemEvent {
  /** The type of event in kebab case, for example `group-formed`. */
  readonly type: string;
  /** The kind of object that it is about. */
  readonly subject:
    | 'request'
    | 'group'
    | 'pool'
    | 'host'
    | 'zone'
    | 'bundle'
    | 'control'
    | 'claim'
    | 'process';
  /** The id of that object. */
  readonly id: string;
  /** The cause, in one sentence for an operator. */
  readonly reason: string;
  /** The values that the decision was based on. */
  readonly details?: Readonly<Record<string, string | number | boolean>>;
}
