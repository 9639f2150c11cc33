package reedmux.gatekeeper.settings;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import reedmux.gatekeeper.script.Declaration;
import reedmux.gatekeeper.script.Declaration.DeclarationKind;
import reedmux.gatekeeper.script.ScriptException;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;
import reedmux.gatekeeper.script.ScriptInterpreter;
import reedmux.gatekeeper.script.UncheckedScriptException;

/**
 * The operators' own settings, from a file separate from the platform's configuration. Without such a file, all
 * features that it configures are disabled.
 *
 * @param region   the settings for other regions, or null if there are none
 * @param services the settings for services in addition to the platform's
 */
public record OperatorSettings(RegionSettings region, ServicesSettings services) {
    /** The settings of an empty file. */
    public static final OperatorSettings NONE = new OperatorSettings(null, ServicesSettings.NONE);

    /** Larger files are rejected before they are read. A character takes at most four bytes in UTF-8. */
    private static final long MAX_FILE_BYTES = 4L * ScriptInterpreter.MAX_SCRIPT_CHARS;

    private static final List<DeclarationKind> DECLARATION_KINDS = List.of(
            RegionSettings.REGION_KIND,
            RegionSettings.LAST_RESORT_KIND,
            RegionSettings.BUDGET_KIND,
            RegionSettings.VISITORS_KIND,
            ServicesSettings.SERVICE_KIND,
            ServicesSettings.ROUTE_KIND,
            ServicesSettings.SHARING_KIND);

    /**
     * Reads a file. Conflicts with the platform's settings are detected by {@link #platformConflicts}.
     *
     * @throws ScriptException if the file cannot be read, is not a valid script or contains invalid declarations
     */
    public static OperatorSettings read(Path file) throws ScriptException {
        String name = file.toString();
        try {
            long size = Files.size(file);
            if (size > MAX_FILE_BYTES) {
                throw new ScriptException(
                        name, ScriptPosition.START, "the file is longer than " + MAX_FILE_BYTES + " bytes: " + size);
            }
            return parse(name, decode(Files.readAllBytes(file)));
        } catch (CharacterCodingException e) {
            throw new ScriptException(name, ScriptPosition.START, "the file is not UTF-8", e);
        } catch (IOException e) {
            throw new ScriptException(name, ScriptPosition.START, "the file cannot be read: " + e, e);
        }
    }

    private static String decode(byte[] bytes) throws CharacterCodingException {
        return StandardCharsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(bytes))
                .toString();
    }

    /**
     * Reads the settings from a script.
     *
     * @param file the file name for error messages
     */
    public static OperatorSettings parse(String file, String script) throws ScriptException {
        List<Declaration> declarations = ScriptInterpreter.run(file, script, DECLARATION_KINDS);
        try {
            return new OperatorSettings(readRegion(declarations), ServicesSettings.read(file, declarations));
        } catch (UncheckedScriptException e) {
            throw new ScriptException(file, e);
        }
    }

    private static RegionSettings readRegion(List<Declaration> declarations) {
        DeclarationReader region = singleDeclaration(declarations, RegionSettings.REGION_KIND);
        DeclarationReader lastResort = singleDeclaration(declarations, RegionSettings.LAST_RESORT_KIND);
        if (region != null) {
            return RegionSettings.read(region, lastResort);
        } else if (lastResort != null) {
            throw lastResort.error("region", "needs a region(...) that tells our own name");
        }
        return null;
    }

    /** Returns the only declaration of a kind, or null if there is none; a second one is an error. */
    static DeclarationReader singleDeclaration(List<Declaration> declarations, DeclarationKind kind) {
        Declaration found = null;
        for (Declaration declaration : declarations) {
            if (!declaration.kind().equals(kind.name())) {
                continue;
            }
            if (found != null) {
                int firstLine = found.position().line();
                throw new UncheckedScriptException(
                        declaration.position(), kind.name() + " is declared twice, first in line " + firstLine);
            }
            found = declaration;
        }
        return found == null ? null : new DeclarationReader(found);
    }

    /**
     * Returns settings that cannot take effect on this platform: budgets of which the equal share of each gatekeeper is
     * less than one request may take, and more connections between regions than a tenth of the file descriptors.
     *
     * @param gatekeepers the number of gatekeepers in this region
     * @param maxUnits    the maximum units that one request may take
     * @param descriptors the maximum number of file descriptors of this gatekeeper
     * @return a line for each conflict; empty if there are none
     */
    public List<String> platformConflicts(int gatekeepers, double maxUnits, int descriptors) {
        return region == null ? List.of() : region.platformConflicts(gatekeepers, maxUnits, descriptors);
    }

    /** Describes the settings in text, one line for each. */
    public List<String> describe() {
        List<String> lines = new ArrayList<>(services.describe());
        if (region != null) {
            lines.addAll(region.describe());
        }
        return lines.isEmpty() ? List.of("nothing is set") : lines;
    }
}
