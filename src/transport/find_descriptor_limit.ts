/** The part of the diagnostic report that holds the limits of the process. */
interface ProcessReport {
  readonly userLimits?: {
    readonly open_files?: {readonly soft: number | 'unlimited'};
  };
}

/**
 * Reads how many descriptors this process may have open.
 *
 * @returns `Infinity` where the system sets no limit or tells none
 * @example
 * const maxConnections = computeConnectionLimit(findDescriptorLimit());
 */
export function findDescriptorLimit(): number {
  const report = process.report as typeof process.report & {
    excludeNetwork?: boolean;
  };
  // The network part resolves the names of peers, which can take long.
  report.excludeNetwork = true;
  const {userLimits} = report.getReport() as ProcessReport;
  const soft = userLimits?.open_files?.soft;
  return typeof soft === 'number' ? soft : Infinity;
}
