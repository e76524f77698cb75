/** Control state of a daemon: its seat, the shared documents, owned groups, promotions and paid levels. One thread. */
package org.lavenderwick.daemon.control;
