/**
 * Token with which the processes authenticate to each other on the users' platform. It is a constant because the
 * platform's settings hold no secret; access is restricted by the network, which lets only the system's own VMs
 * reach the peer ports.
 */
export const PLATFORM_PEER_TOKEN = "tanagerdeck";
