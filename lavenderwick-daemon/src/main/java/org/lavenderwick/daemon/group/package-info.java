/**
 * Execution of work at an owner of a database group. All state of a group is confined to one event loop; answers of
 * endpoints and of the platform are handed to it.
 */
package org.lavenderwick.daemon.group;
