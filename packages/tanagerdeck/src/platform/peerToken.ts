/**
 * Token that the processes show each other. The platform's settings hold no secret; its network admits only the
 * system's own VMs to the peers' ports.
 */
export const PLATFORM_PEER_TOKEN = "tanagerdeck";
