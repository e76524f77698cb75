package org.lavenderwick.adapters.json;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;
import org.lavenderwick.core.model.Term;

/** Creates JSON mappers that know the value types of the core: names and terms are plain strings and numbers. */
public final class JsonMappers {

    private static final List<Class<?>> NAME_TYPES = List.of(
            FailureDomain.class,
            ServiceName.class,
            GroupName.class,
            EndpointName.class,
            DaemonName.class,
            RankName.class);

    private JsonMappers() {}

    /** Returns a mapper that refuses unknown keys. Durations and instants are ISO 8601 strings. */
    public static JsonMapper create() {
        SimpleModule module = new SimpleModule("lavenderwick");
        for (Class<?> type : NAME_TYPES) {
            module.setMixInAnnotation(type, NameMixin.class);
        }
        module.setMixInAnnotation(Term.class, TermMixin.class);
        module.setMixInAnnotation(GroupSettings.class, GroupSettingsMixin.class);
        return JsonMapper.builder()
                .addModule(new Jdk8Module())
                .addModule(new JavaTimeModule())
                .addModule(module)
                .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
                .disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS)
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .build();
    }

    private abstract static class NameMixin {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        NameMixin(String value) {}

        @JsonValue
        abstract String value();
    }

    private abstract static class TermMixin {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        TermMixin(long number) {}

        @JsonValue
        abstract long number();
    }

    @JsonIgnoreProperties({"majority"})
    private abstract static class GroupSettingsMixin {}
}
