import {EngineGroup} from '../../protocol/engine_group';

/** Orders that an engine executes. */
type OrderKind = 'join' | 'open' | 'close' | 'leave' | 'stage';

/** One planned step towards the desired groups. */
export type EngineAction =
  | {
      readonly type: 'set-group';
      readonly group: Omit<EngineGroup, 'epoch'>;
      readonly reason: string;
    }
  | {
      readonly type: 'end-group' | 'release-group' | 'remove-group';
      readonly name: string;
      readonly epoch: number;
      readonly reason: string;
      /** The group lost no member; its hosts are reassigned. */
      readonly isMove?: boolean;
    }
  | {
      readonly type: 'order';
      readonly kind: OrderKind;
      readonly incarnation: string;
      readonly address: string;
      readonly group?: EngineGroup;
      /** Loads a free host's memory through a single-host group that never opens; its epoch may rise while the order waits. */
      readonly isParking?: boolean;
      /** Model to load for a `join` or `stage`. */
      readonly model?: string;
      /** It reads weights from the weight store, where loads are limited. */
      readonly isLoad: boolean;
      readonly reason: string;
    };
