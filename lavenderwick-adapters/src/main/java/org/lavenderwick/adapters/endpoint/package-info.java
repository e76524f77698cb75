/** The port to the endpoints of a database group and its adapter over HTTP/1.1. */
package org.lavenderwick.adapters.endpoint;
