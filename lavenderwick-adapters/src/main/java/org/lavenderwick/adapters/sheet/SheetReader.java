package org.lavenderwick.adapters.sheet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvParser;
import com.fasterxml.jackson.dataformat.csv.CsvSchema;

/** Reads the rows of a sheet from CSV, separated by commas or semicolons. Faults go to a shared list. */
final class SheetReader {

    private static final char BYTE_ORDER_MARK = '\uFEFF';

    private static final CsvMapper MAPPER = CsvMapper.builder()
            .enable(CsvParser.Feature.WRAP_AS_ARRAY)
            .enable(CsvParser.Feature.TRIM_SPACES)
            .build();

    private final List<SheetProblem> problems;

    SheetReader(List<SheetProblem> problems) {
        this.problems = problems;
    }

    /** Returns the rows below the header that are not blank. */
    List<SheetRow> read(byte[] csv) {
        List<List<String>> records = records(csv);
        if (!problems.isEmpty()) {
            return List.of();
        }
        int headerIndex = 0;
        while (headerIndex < records.size() && isBlank(records.get(headerIndex))) {
            headerIndex++;
        }
        if (headerIndex == records.size()) {
            problems.add(new SheetProblem(0, "", "is empty; expected a header row with the columns " + headers()));
            return List.of();
        }
        Map<Integer, SheetColumn> header = header(records.get(headerIndex), headerIndex + 1);
        if (!problems.isEmpty()) {
            return List.of();
        }
        List<SheetRow> rows = new ArrayList<>();
        for (int index = headerIndex + 1; index < records.size(); index++) {
            if (!isBlank(records.get(index))) {
                row(records.get(index), index + 1, header).ifPresent(rows::add);
            }
        }
        return rows;
    }

    private List<List<String>> records(byte[] csv) {
        List<List<String>> records = new ArrayList<>();
        try {
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(csv))
                    .toString();
            if (!text.isEmpty() && text.charAt(0) == BYTE_ORDER_MARK) {
                text = text.substring(1);
            }
            CsvSchema schema = CsvSchema.emptySchema().withColumnSeparator(separator(text));
            MappingIterator<List<String>> iterator =
                    MAPPER.readerForListOf(String.class).with(schema).readValues(text);
            while (iterator.hasNextValue()) {
                records.add(iterator.nextValue());
            }
        } catch (CharacterCodingException e) {
            problems.add(new SheetProblem(0, "", "is not UTF-8 text; export it as CSV UTF-8"));
        } catch (JsonProcessingException e) {
            String reason = "is not valid CSV (" + e.getOriginalMessage() + ")";
            problems.add(new SheetProblem(records.size() + 1, "", reason));
        } catch (IOException e) {
            throw new IllegalStateException("Reading from memory failed.", e);
        }
        return records;
    }

    private static char separator(String text) {
        String header = text.lines().filter(line -> !line.isBlank()).findFirst().orElse("");
        long semicolons = header.chars().filter(character -> character == ';').count();
        long commas = header.chars().filter(character -> character == ',').count();
        return semicolons > commas ? ';' : ',';
    }

    private Map<Integer, SheetColumn> header(List<String> cells, int row) {
        Map<Integer, SheetColumn> header = new TreeMap<>();
        for (int index = 0; index < cells.size(); index++) {
            String cell = cells.get(index);
            if (cell.isBlank()) {
                continue;
            }
            Optional<SheetColumn> column = SheetColumn.ofHeader(cell);
            if (column.isEmpty()) {
                problems.add(new SheetProblem(row, cell, "is not a known column; the columns are " + headers()));
            } else if (header.containsValue(column.get())) {
                problems.add(new SheetProblem(row, cell, "occurs twice in the header"));
            } else {
                header.put(index, column.get());
            }
        }
        if (!header.containsValue(SheetColumn.KIND) || !header.containsValue(SheetColumn.NAME)) {
            problems.add(new SheetProblem(row, "", "is no header; expected the columns " + headers()));
        }
        return header;
    }

    private Optional<SheetRow> row(List<String> cells, int number, Map<Integer, SheetColumn> header) {
        Map<SheetColumn, String> named = new EnumMap<>(SheetColumn.class);
        for (int index = 0; index < cells.size(); index++) {
            String cell = cells.get(index).strip();
            SheetColumn column = header.get(index);
            if (column != null) {
                named.put(column, cell);
            } else if (!cell.isEmpty()) {
                problems.add(new SheetProblem(number, "", "has \"" + cell + "\" in a column without a header"));
            }
        }
        String kind = named.getOrDefault(SheetColumn.KIND, "");
        Optional<RowKind> known = RowKind.ofText(kind);
        if (known.isEmpty()) {
            String reason =
                    (kind.isEmpty() ? "is empty" : "is \"" + kind + "\"") + "; expected one of " + RowKind.texts();
            problems.add(new SheetProblem(number, SheetColumn.KIND.header(), reason));
        }
        return known.map(rowKind -> new SheetRow(number, rowKind, named, problems));
    }

    private static boolean isBlank(List<String> cells) {
        return cells.stream().allMatch(String::isBlank);
    }

    private static String headers() {
        return String.join(
                ", ",
                Arrays.stream(SheetColumn.values()).map(SheetColumn::header).toList());
    }
}
