/** Stand-ins for the platform and for the endpoints of database groups, with injected faults. */
package org.lavenderwick.standins;
