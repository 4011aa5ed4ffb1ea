export type TeamName = string;
export type QueueName = string;
export type PoolName = string;
export type UpstreamName = string;
export type InstanceName = string;
export type ZoneName = string;
export type PlanName = string;
/** Identifies an entry, which is a member of the cluster that receives requests. */
export type MemberId = string;
/** Identifies one process lifetime of a member. It changes with each restart. */
export type Incarnation = string;
/** Identifies a request within the entry that received it. */
export type RequestId = string;
export type TaskId = string;
/** Position in the configuration log, starting at 1. 0 is the empty configuration. */
export type Revision = number;

/** Priority class of a request or task. Higher classes are served first. */
export type WorkClass = 'urgent' | 'normal' | 'archive';

export const WORK_CLASSES: readonly WorkClass[] = ['urgent', 'normal', 'archive'];
