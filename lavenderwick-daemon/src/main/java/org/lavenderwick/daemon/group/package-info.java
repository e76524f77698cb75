/**
 * Execution of requests at the owners of a database group. The state of a group is confined to one event loop, which
 * also receives the responses of endpoints and of the platform.
 */
package org.lavenderwick.daemon.group;
