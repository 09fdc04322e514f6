/** A scheduled fault or addition in the simulated fleet, in milliseconds of virtual time. */
export type FleetEvent =
  | {
      readonly at: number;
      /** Loses a group member in the domain for good. */
      readonly kind: 'lose-member';
      readonly domain: string;
      /** Model of the group; any by default. */
      readonly model?: string;
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
      /** The leader is killed: its memory is lost, and nothing is planned until the next one leads. */
      readonly kind: 'change-leader';
      readonly durationMs: number;
    }
  | {
      readonly at: number;
      /** Adds a host without any weights. */
      readonly kind: 'add-host';
      readonly domain: string;
    };
