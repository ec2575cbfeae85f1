"""Compiles versions of the document without delaying requests."""

from samphirespring.process.document.steps import run_steps
from samphirespring.process.errors import DECODE_ERRORS
from samphirespring.version.compilation import Compiler
from samphirespring.version.routes import CompiledDocument
from samphirespring.version.section_set import DeltaInvalidError, SectionSet


class DocumentCompiler:
    """Compiles only the changed sections, in short steps between which requests are served."""

    def __init__(self) -> None:
        self._compiler = Compiler()

    async def compile(self, sections: SectionSet) -> CompiledDocument:
        """Return the compiled form of a version.

        Args:
            sections: The version; the control hosts have validated each section.

        Raises:
            DeltaInvalidError: A section doesn't match its type; the next version is compiled whole.
        """
        try:
            return await run_steps(self._compiler.compile_steps(sections))
        except (*DECODE_ERRORS, KeyError) as error:
            self._compiler = Compiler()
            raise DeltaInvalidError(f"version {sections.stamp.version}: {error}") from None
