"""Services whose targets shed as a whole: what targets shed, and who may try again."""
