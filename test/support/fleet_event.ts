/** A scheduled fault or addition in the simulated fleet, in milliseconds of virtual time. */
export type FleetEvent =
  | {
      readonly at: number;
      /** Loses a group member in the domain for good. */
      readonly kind: 'lose-member';
      readonly domain: string;
    }
  | {
      readonly at: number;
      /** Partitions some hosts from control for a while. */
      readonly kind: 'cut';
      readonly hosts: number;
      readonly durationMs: number;
    }
  | {
      readonly at: number;
      /** Partitions all hosts of a domain from control and gateways for a while. */
      readonly kind: 'cut-domain';
      readonly domain: string;
      readonly durationMs: number;
    }
  | {
      readonly at: number;
      /** The leader is replaced: what it keeps in memory only is gone. */
      readonly kind: 'change-leader';
    }
  | {
      readonly at: number;
      /** Adds a host without any weights. */
      readonly kind: 'add-host';
      readonly domain: string;
    };
