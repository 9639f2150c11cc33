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
 * The operators' own settings, from a file beside the platform's configuration. Without such a file everything in them
 * is off.
 *
 * @param region   what is set about other regions, or null
 * @param services what is set about services beside the platform's
 */
public record OperatorSettings(RegionSettings region, ServicesSettings services) {
    /** The settings of an empty file. */
    public static final OperatorSettings NONE = new OperatorSettings(null, ServicesSettings.NONE);

    /** A longer file is rejected before it is read; a character has four bytes at most. */
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
     * Reads a file. Whether the settings fit the platform's is checked by {@link #platformConflicts}.
     *
     * @throws ScriptException if the file cannot be read, is no script or declares what makes no sense
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
     * Reads a script.
     *
     * @param file the name that errors give the script
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

    /** The one declaration of a kind, or null; a second one is an error. */
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
     * Settings that can never have the effect they state on this platform: budgets of which a gatekeeper's equal share
     * is less than one request, and more connections between regions than a tenth of the descriptors.
     *
     * @param gatekeepers gatekeepers of this region
     * @param maxUnits    units that one request may take
     * @param descriptors descriptors of this gatekeeper
     * @return a line for each, empty if there is none
     */
    public List<String> platformConflicts(int gatekeepers, double maxUnits, int descriptors) {
        return region == null ? List.of() : region.platformConflicts(gatekeepers, maxUnits, descriptors);
    }

    /** The settings in words, a line each. */
    public List<String> describe() {
        List<String> lines = new ArrayList<>(services.describe());
        if (region != null) {
            lines.addAll(region.describe());
        }
        return lines.isEmpty() ? List.of("nothing is set") : lines;
    }
}
