import {z} from 'zod';

/** Schema of the settings that every daemon takes: TLS files, plain TCP and log format. */
export const commonSettings = z.object({
  tlsAuthority: z
    .string()
    .optional()
    .describe('PEM file of the authority that signs all processes'),
  tlsCertificate: z
    .string()
    .optional()
    .describe('PEM file of this process’s certificate'),
  tlsKey: z
    .string()
    .optional()
    .describe('PEM file of this process’s private key'),
  allowPlainTcp: z
    .enum(['true', 'false'], 'expected true or false')
    .default('false')
    .describe('true lets processes talk without TLS beyond loopback'),
  logFormat: z
    .enum(['json', 'pretty'], 'expected json or pretty')
    .default('json')
    .describe('json or pretty'),
});
