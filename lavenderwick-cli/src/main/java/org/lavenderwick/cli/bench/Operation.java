package org.lavenderwick.cli.bench;

import java.time.Duration;
import java.util.Optional;

/**
 * One logical request, which repeats may send several times.
 *
 * @param workload its workload
 * @param writer name of the continuous writer, empty for other requests
 * @param session its session
 * @param write whether it writes
 * @param key the key it reads or writes
 * @param value for a write, the unique value
 * @param requiredWrite for a read, the value of the newest write of the session
 * @param intendedAt time at which it should be sent
 */
record Operation(
        Workload workload,
        String writer,
        CallerSession session,
        boolean write,
        String key,
        Optional<String> value,
        Optional<String> requiredWrite,
        Duration intendedAt) {

    /** Returns the body of the request. */
    String body() {
        StringBuilder body = new StringBuilder(256);
        body.append("{\"rank\":\"").append(workload.rank()).append("\",\"access\":\"");
        body.append(write ? "write" : "read").append("\",\"deadlineMs\":");
        body.append(workload.deadline().toMillis());
        value.ifPresent(
                text -> body.append(",\"idempotencyKey\":\"").append(text).append('"'));
        session.token()
                .ifPresent(token -> body.append(",\"session\":\"").append(token).append('"'));
        body.append(",\"statements\":[{\"op\":\"").append(write ? "put" : "get");
        body.append("\",\"key\":\"").append(key).append('"');
        value.ifPresent(text -> body.append(",\"value\":\"").append(text).append('"'));
        return body.append("}]}").toString();
    }

    /** Returns the path of the request. */
    String path() {
        return "/v1/services/" + workload.service().name() + "/groups/" + workload.group() + "/statements";
    }
}
