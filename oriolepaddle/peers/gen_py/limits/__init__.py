__all__ = ['ttypes', 'constants', 'Limits']
